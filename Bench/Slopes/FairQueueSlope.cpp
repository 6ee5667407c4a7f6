#include <LibAdmission/FairQueue.h>

#include <Bench/Slopes/ProcessorTimer.h>
#include <Bench/Slopes/Slopes.h>
#include <malloc.h>

#include <array>
#include <chrono>
#include <string>

namespace lycheeseam::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::array kWorkspaces{ std::size_t{ 5 },
                                  std::size_t{ 50 },
                                  std::size_t{ 470 } };
/// The number of requests that wait in the queue while it is measured.
constexpr std::size_t kWaiting = 1000;
constexpr std::size_t kRequests = 100'000;

std::vector<workspace_id>
MakeWorkspaces(std::size_t aCount)
{
  std::vector<workspace_id> workspaces;
  workspaces.reserve(aCount);
  for (std::size_t index = 0; index < aCount; ++index)
    workspaces.emplace_back("workspace-" + std::to_string(index));
  return workspaces;
}

void
EnqueueOne(fair_queue& aQueue,
           std::size_t aNumber,
           std::vector<workspace_id> const& aWorkspaces)
{
  aQueue.Enqueue({ .mTicket = ticket{ aNumber },
                   .mWorkspace = aWorkspaces[aNumber % aWorkspaces.size()],
                   .mCost = static_cast<token_count>(aNumber * 7919 % 16'000),
                   .mDeadline = instant{} + 1h });
}

slope_result
MeasureAt(std::size_t aWorkspaces)
{
  std::vector<workspace_id> const workspaces = MakeWorkspaces(aWorkspaces);
  std::size_t const before = mallinfo2().uordblks;
  fair_queue queue;
  std::size_t number = 0;
  for (; number < kWaiting; ++number)
    EnqueueOne(queue, number, workspaces);
  std::size_t const held = mallinfo2().uordblks - before;
  processor_timer const timer;
  for (std::size_t request = 0; request < kRequests; ++request) {
    EnqueueOne(queue, number++, workspaces);
    [[maybe_unused]] admission_batch const batch = queue.Next(instant{}, 1);
  }
  return { .mOperation = "enqueue and admit, 1,000 waiting",
           .mUnit = "workspaces",
           .mSize = aWorkspaces,
           .mNanoseconds = timer.NanosecondsEach(kRequests),
           .mBytes = static_cast<double>(held) };
}

}

std::vector<slope_result>
MeasureFairQueue()
{
  std::vector<slope_result> results;
  results.reserve(kWorkspaces.size());
  for (std::size_t const workspaces : kWorkspaces)
    results.push_back(MeasureAt(workspaces));
  return results;
}

}
