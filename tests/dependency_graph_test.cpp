// Tests of the dependency graph: readiness, cancellation and inherited priorities.
#include "dependencies/graph.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace gingerdrift::testing {

using admission::priority;
using dependencies::graph;
using dependencies::job_progress;
using job_ids = std::vector<job_id>;

TEST(dependency_graph, makes_a_diamond_ready_once_both_sides_are_done) {
  graph jobs;
  jobs.add("left", priority::low, {"root"});
  jobs.add("right", priority::low, {"root"});
  jobs.add("end", priority::low, {"left", "right"});
  EXPECT_EQ(jobs.unknown_jobs(), job_ids({"root"})) << "waiting jobs are known to be unfinished";
  EXPECT_EQ(jobs.set_progress("root", job_progress::done).ready, job_ids({"left", "right"}));
  EXPECT_TRUE(jobs.set_progress("left", job_progress::done).ready.empty());
  EXPECT_TRUE(jobs.is_waiting("end"));
  EXPECT_EQ(jobs.set_progress("right", job_progress::done).ready, job_ids({"end"}));
  EXPECT_EQ(jobs.waiting_job_count(), 0U);
}

TEST(dependency_graph, cancels_every_descendant_once) {
  graph jobs;
  jobs.add("left", priority::low, {"root"});
  jobs.add("right", priority::low, {"root", "other"});
  jobs.add("end", priority::low, {"left", "right"});
  jobs.add("beside", priority::low, {"other"});
  const auto effects = jobs.set_progress("root", job_progress::cancelled);
  EXPECT_EQ(effects.cancelled, job_ids({"left", "right", "end"}));
  EXPECT_TRUE(jobs.is_waiting("beside"));
  EXPECT_EQ(jobs.waiting_job_count(), 1U);
  EXPECT_EQ(jobs.set_progress("other", job_progress::done).ready, job_ids({"beside"}));
}

TEST(dependency_graph, cancels_a_job_that_depends_on_a_cancelled_one) {
  graph jobs;
  jobs.add("first", priority::low, {"root", "live"});
  EXPECT_EQ(jobs.set_progress("root", job_progress::cancelled).cancelled, job_ids({"first"}));
  jobs.add("keeps", priority::low, {"live"});
  jobs.add("late", priority::low, {"live", "root"});
  EXPECT_EQ(jobs.set_progress("root", job_progress::cancelled).cancelled, job_ids({"late"}));
  EXPECT_TRUE(jobs.is_waiting("keeps"));
}

TEST(dependency_graph, updates_inherited_priorities_when_dependents_are_added_and_removed) {
  graph jobs;
  jobs.add("middle", priority::low, {"root"});
  EXPECT_EQ(jobs.inherited_priority("root"), priority::low);
  const auto raised = jobs.add("urgent", priority::high, {"middle"});
  EXPECT_EQ(raised.priority_changed, job_ids({"middle", "root"}));
  EXPECT_EQ(jobs.inherited_priority("root"), priority::high);
  EXPECT_EQ(jobs.inherited_priority("middle"), priority::high);
  EXPECT_TRUE(jobs.add("another", priority::standard, {"middle"}).priority_changed.empty())
      << "a lower priority than the inherited one changes nothing";
  const auto lowered = jobs.remove("urgent");
  EXPECT_EQ(lowered.priority_changed, job_ids({"middle", "root"}));
  EXPECT_EQ(jobs.inherited_priority("root"), priority::standard);
}

// A new leader reads the records in the order of the job ids, which is unrelated to the order of
// the dependencies.
TEST(dependency_graph,
     passes_priorities_to_every_ancestor_regardless_of_the_order_in_which_jobs_are_added) {
  struct stored_job {
    job_id id;
    priority level;
    job_ids dependencies;
  };
  std::vector<stored_job> jobs = {{"first", priority::low, {"root"}},
                                  {"left", priority::low, {"first"}},
                                  {"right", priority::standard, {"first"}},
                                  {"urgent", priority::high, {"left", "right"}}};
  const auto by_id = [](const stored_job& a, const stored_job& b) { return a.id < b.id; };
  std::sort(jobs.begin(), jobs.end(), by_id);
  do {
    graph loaded;
    for (const auto& job : jobs) loaded.add(job.id, job.level, job.dependencies);
    for (const job_id& id : std::vector<job_id>{"root", "first", "left", "right"})
      EXPECT_EQ(loaded.inherited_priority(id), priority::high) << id;
    loaded.remove("urgent");
    EXPECT_EQ(loaded.inherited_priority("root"), priority::standard);
    EXPECT_EQ(loaded.inherited_priority("left"), priority::low);
  } while (std::next_permutation(jobs.begin(), jobs.end(), by_id));
}

TEST(dependency_graph, reports_ancestors_as_not_known_while_one_is_unknown_or_excluded) {
  graph jobs;
  jobs.add("middle", priority::low, {"root"});
  jobs.add("end", priority::low, {"middle"});
  const auto nothing_excluded = [](const job_id&) { return false; };
  EXPECT_FALSE(jobs.all_ancestors_known("end", nothing_excluded))
      << "the indirect dependency may be cancelled";
  jobs.set_progress("root", job_progress::unfinished);
  EXPECT_TRUE(jobs.all_ancestors_known("end", nothing_excluded));
  const auto root_excluded = [](const job_id& id) { return id == "root"; };
  EXPECT_FALSE(jobs.all_ancestors_known("end", root_excluded))
      << "the indirect dependency is excluded";
  EXPECT_TRUE(jobs.unknown_jobs().empty());
}

TEST(dependency_graph, drops_jobs_without_dependents) {
  graph jobs;
  jobs.add("end", priority::high, {"root"});
  EXPECT_TRUE(jobs.has_dependents("root"));
  jobs.remove("end");
  EXPECT_FALSE(jobs.has_dependents("root"));
  EXPECT_TRUE(jobs.unknown_jobs().empty());
}

}  // namespace gingerdrift::testing
