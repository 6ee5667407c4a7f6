#pragma once

#include <LibFront/FrontWorkers.h>

#include <pistache/http.h>
#include <pistache/peer.h>

namespace lycheeseam {

/// Pistache's handler for callers' connections. Pistache copies it once for
/// each worker thread, and each copy adds a front_worker with that thread's
/// state.
template<typename Sink>
class front_handler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(front_handler)

  explicit front_handler(front_workers<Sink>& aWorkers)
    : mWorkers(aWorkers)
    , mWorker(aWorkers.Add())
  {
  }

  front_handler(front_handler const& aOther)
    : Pistache::Http::Handler(aOther)
    , mWorkers(aOther.mWorkers)
    , mWorker(aOther.mWorkers.Add())
  {
  }

  front_handler& operator=(front_handler const&) = delete;
  ~front_handler() override = default;

  void onRequest(Pistache::Http::Request const& aRequest,
                 Pistache::Http::ResponseWriter aWriter) override
  {
    mWorker.OnRequest(aRequest, std::move(aWriter), *this->transport());
  }

  void onDisconnection(
    std::shared_ptr<Pistache::Tcp::Peer> const& aPeer) override
  {
    mWorker.OnDisconnection(aPeer->getID());
  }

private:
  front_workers<Sink>& mWorkers;
  front_worker<Sink>& mWorker;
};

}
