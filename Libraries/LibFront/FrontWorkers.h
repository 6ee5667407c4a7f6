#pragma once

#include <LibFront/FrontWorker.h>

#include <memory>
#include <mutex>
#include <vector>

namespace lycheeseam {

/// All front workers; hands a message to the worker that its call is on.
template<typename Sink>
class front_workers
{
public:
  front_workers(Sink& aSink, front_options const& aOptions)
    : mSink(aSink)
    , mOptions(aOptions)
  {
  }

  /// Makes the state of one more worker; it lives as long as this does.
  front_worker<Sink>& Add()
  {
    std::lock_guard const lock{ mMutex };
    std::size_t const index = mWorkers.size();
    mWorkers.push_back(
      std::make_unique<front_worker<Sink>>(mSink, mOptions, index));
    return *mWorkers.back();
  }

  /// Tells a call's worker something; safe from any thread.
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
