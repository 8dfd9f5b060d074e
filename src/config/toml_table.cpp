#include "config/toml_table.hpp"

#include "net/address.hpp"

namespace gingerdrift::config {

const toml::node* toml_table::find(const std::string& name) const {
  return table_ == nullptr ? nullptr : table_->get(name);
}

const toml::node& toml_table::find_required(const std::string& name) const {
  const auto* node = find(name);
  if (node == nullptr) field_of(name).fail("is missing");
  return *node;
}

std::string toml_table::text(const std::string& name) const {
  const auto& node = find_required(name);
  const auto value = node.value<std::string>();
  if (!node.is_string() || !value || value->empty())
    field_of(name).fail("must be a non-empty string");
  return *value;
}

std::string toml_table::optional_text(const std::string& name) const {
  return has(name) ? text(name) : std::string();
}

std::string toml_table::address(const std::string& name) const {
  std::string value = text(name);
  if (!net::parse_address(value)) field_of(name).fail("must be an IPv4 address and a port");
  return value;
}

std::vector<std::string> toml_table::texts(const std::string& name) const {
  std::vector<std::string> values;
  const auto* node = find(name);
  if (node == nullptr) return values;
  if (!node->is_array()) field_of(name).fail("must be an array of strings");
  for (const auto& item : *node->as_array()) {
    const auto value = item.value<std::string>();
    if (!item.is_string() || !value) field_of(name).fail("must be an array of strings");
    values.push_back(*value);
  }
  return values;
}

double toml_table::number(const std::string& name, double fallback,
                          const number_range& range) const {
  const auto* node = find(name);
  if (node == nullptr) return fallback;
  const auto value = node->is_number() ? node->value<double>() : std::nullopt;
  return field_of(name).check_number(value, range);
}

duration toml_table::duration_value(const std::string& name, duration fallback,
                                    const number_range& range) const {
  return from_seconds(number(name, to_seconds(fallback), range));
}

toml_table toml_table::required_table(const std::string& name) const {
  find_required(name);
  return optional_table(name);
}

toml_table toml_table::optional_table(const std::string& name) const {
  const auto* node = find(name);
  if (node != nullptr && !node->is_table()) field_of(name).fail("must be a table");
  return {file_, path_ + name + ".", node == nullptr ? nullptr : node->as_table()};
}

void toml_table::for_each_table(const std::string& name,
                                const std::function<void(const toml_table&)>& visit) const {
  const auto* node = find(name);
  if (node == nullptr) return;
  if (!node->is_array()) field_of(name).fail("must be an array of tables");
  std::size_t index = 0;
  for (const auto& item : *node->as_array()) {
    const std::string item_name = name + "[" + std::to_string(index++) + "]";
    if (!item.is_table()) field_of(item_name).fail("must be a table");
    visit({file_, path_ + item_name + ".", item.as_table()});
  }
}

}  // namespace gingerdrift::config
