#include <Bench/Decisions/Measure.h>
#include <Bench/Decisions/Report.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <vector>

/// \file bench-decisions: measures placement and admission in virtual time.

DEFINE_string(results, "Results", "the folder that JSON is written to");
DEFINE_string(only_case, "", "measure only this case");
DEFINE_string(only_deployment, "", "measure only this deployment");
DEFINE_string(only_policy, "", "measure only this policy");
DEFINE_double(compute_weight, 1.0, "prefix_cost_options::mComputeWeight");
DEFINE_uint64(window,
              8,
              "requests that one instance may have outstanding on one server");
DEFINE_uint64(seeds, 3, "the number of seeds that each result covers");

namespace lycheeseam::bench {
namespace {

bool
IsWanted(std::string_view aName, std::string_view aOnly)
{
  return aOnly.empty() || aName == aOnly;
}

std::vector<std::uint64_t>
Seeds()
{
  std::vector<std::uint64_t> seeds(FLAGS_seeds);
  for (std::size_t index = 0; index < seeds.size(); ++index)
    seeds[index] = 1000 * (index + 1);
  return seeds;
}

void
MeasureCase(deployment const& aDeployment,
            bench_case const& aCase,
            std::vector<case_result>& aResults)
{
  for (policy_kind const policy : kPolicyKinds) {
    if (!IsWanted(PolicyName(policy), FLAGS_only_policy))
      continue;
    simulation_options options{ .mDeployment = aDeployment,
                                .mCase = aCase,
                                .mPolicy = policy };
    options.mCost.mComputeWeight = FLAGS_compute_weight;
    options.mWindow = static_cast<std::uint32_t>(FLAGS_window);
    aResults.push_back(Measure(options, Seeds()));
  }
}

void
MeasureAll()
{
  std::vector<case_result> results;
  for (deployment const& site : Deployments()) {
    if (!IsWanted(site.mName, FLAGS_only_deployment))
      continue;
    for (bench_case const& wanted : BenchCases()) {
      if (IsWanted(wanted.mName, FLAGS_only_case))
        MeasureCase(site, wanted, results);
    }
  }
  PrintTable(results);
  std::filesystem::create_directories(FLAGS_results);
  WriteJson(results, std::filesystem::path{ FLAGS_results } / "decisions.json");
  WritePlotTables(results, FLAGS_results);
}

}
}

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    lycheeseam::bench::MeasureAll();
  } catch (std::exception const& failure) {
    std::fprintf(stderr, "bench-decisions: %s\n", failure.what());
    return 1;
  }
  return 0;
}
