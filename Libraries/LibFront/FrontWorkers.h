#pragma once

#include <LibFront/FrontWorker.h>

#include <memory>
#include <mutex>
#include <vector>

namespace lycheeseam {

/// The collection of all front workers; routes each message to the worker of
/// its call.
template<typename Sink>
class front_workers
{
public:
  front_workers(Sink& aSink, front_options const& aOptions)
    : mSink(aSink)
    , mOptions(aOptions)
  {
  }

  /// Adds a worker; it exists as long as this collection.
  front_worker<Sink>& Add()
  {
    std::lock_guard const lock{ mMutex };
    std::size_t const index = mWorkers.size();
    mWorkers.push_back(
      std::make_unique<front_worker<Sink>>(mSink, mOptions, index));
    return *mWorkers.back();
  }

  /// Posts a message to the worker of its call; safe from any thread.
  void Post(front_message aMessage)
  {
    call_number const call =
      std::visit([](auto const& aAny) { return aAny.mCall; }, aMessage);
    Find(call).Post(std::move(aMessage));
  }

private:
  front_worker<Sink>& Find(call_number aCall)
  {
    std::size_t const index = aCall.Value() >> front_worker<Sink>::kIndexShift;
    std::lock_guard const lock{ mMutex };
    return *mWorkers.at(index);
  }

  Sink& mSink;
  front_options const& mOptions;
  std::mutex mMutex;
  std::vector<std::unique_ptr<front_worker<Sink>>> mWorkers;
};

}
