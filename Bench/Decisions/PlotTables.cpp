#include <LibCore/Error.h>

#include <Bench/Decisions/Report.h>

#include <fstream>
#include <set>
#include <string>

namespace lycheeseam::bench {

namespace {

using measure = double case_result::*;

/// Writes one measure of a deployment: a row per case in the order of the
/// results, a column per policy.
void
WritePlotTable(std::span<case_result const> aResults,
               std::string const& aDeployment,
               measure aMeasure,
               std::filesystem::path const& aFile)
{
  std::ofstream file{ aFile };
  std::string header{ "case" };
  std::string rows;
  std::string lastCase;
  bool isFirstCase = true;
  for (case_result const& result : aResults) {
    if (result.mDeployment != aDeployment)
      continue;
    if (result.mCase != lastCase) {
      isFirstCase = lastCase.empty();
      rows += (isFirstCase ? "" : "\n") + result.mCase;
      lastCase = result.mCase;
    }
    if (isFirstCase)
      header += '\t' + result.mPolicy;
    rows += '\t' + std::to_string(result.*aMeasure);
  }
  file << header << '\n' << rows << '\n';
  if (!file)
    throw error{ "bench: can't write " + aFile.string() };
}

}

void
WritePlotTables(std::span<case_result const> aResults,
                std::filesystem::path const& aFolder)
{
  std::set<std::string> done;
  for (case_result const& result : aResults) {
    std::string const& site = result.mDeployment;
    if (!done.insert(site).second)
      continue;
    WritePlotTable(aResults,
                   site,
                   &case_result::mHitRate,
                   aFolder / ("hit-rate-" + site + ".tsv"));
    WritePlotTable(aResults,
                   site,
                   &case_result::mP99Milliseconds,
                   aFolder / ("p99-" + site + ".tsv"));
  }
}

}
