#include <Bench/Peers/MeasureLinks.h>
#include <Bench/Peers/MeasurePropagation.h>
#include <Bench/Peers/MeasureSnapshot.h>
#include <Bench/Peers/MeasureSupervision.h>
#include <Bench/Peers/Report.h>
#include <gflags/gflags.h>

#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>

/// \file bench-peers: measures the links between instances; prints a table
/// and writes the results as JSON.

DEFINE_string(results, "Results", "the folder that JSON is written to");

int
main(int aCount, char** aArguments)
{
  using namespace lycheeseam::bench;
  using measure_function = std::vector<measurement> (*)();
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    std::vector<measurement> all = MeasureLinks();
    for (measure_function const measure :
         { MeasureSnapshot, MeasurePropagation, MeasureSupervision }) {
      std::vector<measurement> const more = measure();
      all.insert(all.end(), more.begin(), more.end());
    }
    std::cout << FormatTable(all);
    std::filesystem::create_directories(FLAGS_results);
    std::ofstream{ std::filesystem::path{ FLAGS_results } / "peers.json" }
      << FormatJson(all) << '\n';
  } catch (std::exception const& failure) {
    std::cerr << "bench-peers: " << failure.what() << '\n';
    return 1;
  }
  return 0;
}
