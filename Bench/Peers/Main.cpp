#include <Bench/Peers/MeasureLinks.h>
#include <Bench/Peers/MeasurePropagation.h>
#include <Bench/Peers/MeasureSnapshot.h>
#include <Bench/Peers/MeasureSupervision.h>
#include <Bench/Peers/Report.h>

#include <exception>
#include <fstream>
#include <iostream>

/// \file bench-peers [FILE]: measures the links between instances; prints a
/// table and, with a file's name, writes it as JSON.

int
main(int aCount, char** aArguments)
{
  using namespace lycheeseam::bench;
  try {
    std::vector<measurement> all = MeasureLinks();
    for (auto const measure :
         { MeasureSnapshot, MeasurePropagation, MeasureSupervision }) {
      std::vector<measurement> const more = measure();
      all.insert(all.end(), more.begin(), more.end());
    }
    std::cout << FormatTable(all);
    if (aCount > 1)
      std::ofstream{ aArguments[1] } << FormatJson(all) << '\n';
  } catch (std::exception const& failure) {
    std::cerr << "bench-peers: " << failure.what() << '\n';
    return 1;
  }
  return 0;
}
