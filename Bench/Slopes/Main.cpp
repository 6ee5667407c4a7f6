#include <Bench/Slopes/Slopes.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>

/// \file Measures the processor time and the memory of placement and
/// admission at growing sizes.

DEFINE_string(results, "Results", "the folder that JSON is written to");

namespace lycheeseam::bench {
namespace {

void
Print(slope_result const& aRow)
{
  std::printf("| %s | %zu %s | %.0f | %.0f |\n",
              aRow.mOperation.c_str(),
              aRow.mSize,
              aRow.mUnit.c_str(),
              aRow.mNanoseconds,
              aRow.mBytes);
}

nlohmann::json
ToJson(slope_result const& aRow)
{
  return { { "operation", aRow.mOperation },
           { "unit", aRow.mUnit },
           { "size", aRow.mSize },
           { "nanoseconds", aRow.mNanoseconds },
           { "bytes", aRow.mBytes } };
}

void
MeasureAll()
{
  using measure_function = std::vector<slope_result> (*)();
  nlohmann::json rows = nlohmann::json::array();
  std::puts("| operation | size | ns of processor time | bytes held |");
  std::puts("| --- | ---: | ---: | ---: |");
  for (measure_function const measure :
       { MeasureChoice, MeasureBlockMap, MeasureFairQueue }) {
    for (slope_result const& row : measure()) {
      Print(row);
      rows.push_back(ToJson(row));
    }
  }
  std::filesystem::create_directories(FLAGS_results);
  std::ofstream{ std::filesystem::path{ FLAGS_results } / "slopes.json" }
    << rows.dump(2) << '\n';
}

}
}

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  lycheeseam::bench::MeasureAll();
  return 0;
}
