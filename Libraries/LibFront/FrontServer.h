#pragma once

#include <LibFront/FrontHandler.h>
#include <LibFront/FrontOptions.h>
#include <LibFront/FrontWorkers.h>

#include <pistache/endpoint.h>

#include <memory>

namespace lycheeseam {

/// The HTTP server for callers; it runs front workers on threads of its own.
template<typename Sink>
class front_server
{
public:
  /// Starts to listen and to serve. The sink outlives the server.
  front_server(Sink& aSink, front_options aOptions)
    : mOptions(std::move(aOptions))
    , mWorkers(aSink, mOptions)
    , mEndpoint(Pistache::Address(mOptions.mListen.mAddress,
                                  Pistache::Port(mOptions.mListen.mPort)))
  {
    // Checked here, since the sink's class has a member of this type and is
    // incomplete before.
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

  /// Closes the connections that are still open; drain the callers before.
  ~front_server() { mEndpoint.shutdown(); }

  front_server(front_server const&) = delete;
  front_server& operator=(front_server const&) = delete;

  /// Posts a message to the worker of its call; safe from any thread.
  void Post(front_message aMessage) { mWorkers.Post(std::move(aMessage)); }

private:
  // Pistache limits the buffer in which it builds an answer to this size.
  static constexpr std::size_t kMaxAnswerBytes = 64UL * 1024 * 1024;

  front_options mOptions;
  front_workers<Sink> mWorkers;
  Pistache::Http::Endpoint mEndpoint;
};

}
