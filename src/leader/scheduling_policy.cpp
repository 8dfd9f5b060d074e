#include "leader/scheduling_policy.hpp"

namespace gingerdrift::leader {

admission::policy scheduling_policy(const config::operator_settings& operator_settings) {
  admission::policy policy;
  policy.spot_first = operator_settings.pool_order.front() == "spot";
  policy.variant_creation_delay = operator_settings.variant_creation_delay;
  policy.contested_pool_delay = operator_settings.contested_pool_delay;
  policy.lower_pool_scale_out_delay = operator_settings.lower_pool_scale_out_delay;
  policy.variant_deletion_delay = operator_settings.variant_deletion_delay;
  policy.upgrade_min_remaining = operator_settings.upgrade_min_remaining;
  policy.reservation_ttl = operator_settings.reservation_ttl;
  policy.gang_reservation_delay = operator_settings.gang_reservation_delay;
  policy.gang_reservation_share = operator_settings.gang_reservation_share;
  return policy;
}

}  // namespace gingerdrift::leader
