#pragma once

// Includes all settings and the functions that read them.
#include "config/operator_settings.hpp"
#include "config/platform_settings.hpp"
#include "config/settings_error.hpp"
