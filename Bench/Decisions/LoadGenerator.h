#pragma once

#include <Bench/Decisions/Arrival.h>
#include <Bench/Decisions/BenchCase.h>
#include <Bench/Decisions/Deployment.h>

#include <cstdint>
#include <random>
#include <vector>

namespace lycheeseam::bench {

/// Generates load from a seed. The prefixes of prompts are nested in three
/// levels: an application of the workspace, a catalogue within it and a
/// conversation about the catalogue.
class load_generator
{
public:
  load_generator(deployment const& aDeployment,
                 bench_case const& aCase,
                 std::uint64_t aSeed);

  /// Generates all requests up to a time, ordered by time.
  std::vector<arrival> Generate(duration aLength);

private:
  /// A conversation that later requests may continue.
  struct conversation
  {
    std::uint64_t mCatalogue = 0;
    std::uint64_t mNumber = 0;
    std::size_t mBlocks = 0;
  };

  arrival MakeRequest(instant aAt, std::size_t aWorkspace);
  conversation& PickConversation(instant aAt, std::size_t aWorkspace);
  std::uint64_t PickCatalogue(instant aAt);
  void GenerateWorkspace(std::size_t aWorkspace,
                         duration aLength,
                         std::vector<arrival>& aAll);
  double Uniform();

  deployment const& mDeployment;
  bench_case const& mCase;
  std::mt19937_64 mRandom;
  std::vector<std::vector<conversation>> mConversations;
  std::uint64_t mLastConversation = 0;
};

}
