#pragma once

#include <LibFront/FrontHandler.h>
#include <LibFront/FrontOptions.h>
#include <LibFront/FrontWorkers.h>

#include <pistache/endpoint.h>

#include <memory>

namespace lycheeseam {

/// Serves callers over HTTP on threads of its own.
template<typename Sink>
class front_server
{
public:
  /// Listens and serves at once. The sink outlives the server.
  front_server(Sink& aSink, front_options aOptions)
    : mOptions(std::move(aOptions))
    , mWorkers(aSink, mOptions)
    , mEndpoint(Pistache::Address(mOptions.mListen.mAddress,
                                  Pistache::Port(mOptions.mListen.mPort)))
  {
    // Checked here, since the sink's class holds this one and isn't complete
    // before.
    static_assert(call_sink<Sink>);
    Pistache::Tcp::Options const flags = Pistache::Tcp::Options::ReuseAddr;
    mEndpoint.init(Pistache::Http::Endpoint::options()
                     .threads(mOptions.mWorkers)
                     .flags(flags | Pistache::Tcp::Options::NoDelay)
                     .maxRequestSize(mOptions.mMaxRequestBytes)
                     .maxResponseSize(kMaxAnswerBytes));
    mEndpoint.setHandler(std::make_shared<front_handler<Sink>>(mWorkers));
    mEndpoint.serveThreaded();
  }

  /// Cuts what is still open; callers are drained before.
  ~front_server() { mEndpoint.shutdown(); }

  front_server(front_server const&) = delete;
  front_server& operator=(front_server const&) = delete;

  /// Tells a call's worker something; safe from any thread.
  void Post(front_message aMessage) { mWorkers.Post(std::move(aMessage)); }

private:
  // Pistache bounds the buffer in which it builds an answer.
  static constexpr std::size_t kMaxAnswerBytes = 64UL * 1024 * 1024;

  front_options mOptions;
  front_workers<Sink> mWorkers;
  Pistache::Http::Endpoint mEndpoint;
};

}
