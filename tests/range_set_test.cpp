#include "base/range_set.hpp"

#include <gtest/gtest.h>

namespace gingerdrift {

TEST(range_set, merges_adjacent_values_into_ranges) {
  range_set values;
  for (const std::uint32_t value : {5U, 3U, 4U, 9U, 0U, 5U}) values.insert(value);
  EXPECT_EQ(values.count(), 5U);
  const std::map<std::uint32_t, std::uint32_t> expected{{0, 0}, {3, 5}, {9, 9}};
  EXPECT_EQ(values.ranges(), expected);
  EXPECT_TRUE(values.contains(4));
  EXPECT_FALSE(values.contains(6));
}

}  // namespace gingerdrift
