#include <LibCore/Error.h>

#include <Bench/Decisions/Report.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>

namespace lycheeseam::bench {

namespace {

nlohmann::json
ToJson(case_result const& aResult)
{
  return { { "deployment", aResult.mDeployment },
           { "case", aResult.mCase },
           { "policy", aResult.mPolicy },
           { "requests", aResult.mRequests },
           { "hit_rate_percent", aResult.mHitRate },
           { "p50_first_token_ms", aResult.mP50Milliseconds },
           { "p99_first_token_ms", aResult.mP99Milliseconds },
           { "recomputed_percent", aResult.mRecomputed },
           { "worst_workspace_p99_ms", aResult.mWorstWorkspaceP99 },
           { "worst_other_p99_ms", aResult.mWorstOtherP99 },
           { "median_workspace_p99_ms", aResult.mMedianWorkspaceP99 },
           { "others_p99_ms", aResult.mOthersP99 },
           { "over_rate", aResult.mOverRate },
           { "refused_inside_rate", aResult.mRefusedInside },
           { "lost", aResult.mLost },
           { "lookup_bytes_per_second", aResult.mLookupBytes },
           { "event_bytes_per_second", aResult.mEventBytes } };
}

}

void
PrintTable(std::span<case_result const> aResults)
{
  std::puts("| deployment | case | policy | hit % | p50 ms | p99 ms | "
            "recomputed % | worst p99 | worst other | median p99 | others p99 "
            "| over rate | "
            "refused inside | lost | lookup B/s | event B/s |");
  std::puts("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | "
            "---: | ---: | ---: | ---: | ---: | ---: | ---: |");
  for (case_result const& row : aResults)
    std::printf(
      "| %s | %s | %s | %.1f | %.0f | %.0f | %.1f | %.0f | %.0f | %.0f | "
      "%.0f | %ju | %ju | %ju | %.0f | %.0f |\n",
      row.mDeployment.c_str(),
      row.mCase.c_str(),
      row.mPolicy.c_str(),
      row.mHitRate,
      row.mP50Milliseconds,
      row.mP99Milliseconds,
      row.mRecomputed,
      row.mWorstWorkspaceP99,
      row.mWorstOtherP99,
      row.mMedianWorkspaceP99,
      row.mOthersP99,
      static_cast<std::uintmax_t>(row.mOverRate),
      static_cast<std::uintmax_t>(row.mRefusedInside),
      static_cast<std::uintmax_t>(row.mLost),
      row.mLookupBytes,
      row.mEventBytes);
}

void
WriteJson(std::span<case_result const> aResults,
          std::filesystem::path const& aFile)
{
  nlohmann::json rows = nlohmann::json::array();
  for (case_result const& result : aResults)
    rows.push_back(ToJson(result));
  std::ofstream file{ aFile };
  file << rows.dump(2) << '\n';
  if (!file)
    throw error{ "bench: can't write " + aFile.string() };
}

}
