#pragma once

#include <pistache/http.h>

#include <memory>
#include <string>

namespace lycheeseam::standin {

/// Answers one request. Any thread may call it, because Pistache queues a
/// complete answer for the connection's own thread.
class responder
{
public:
  explicit responder(Pistache::Http::ResponseWriter aWriter)
    : mWriter(
        std::make_shared<Pistache::Http::ResponseWriter>(std::move(aWriter)))
  {
  }

  /// Sends the answer; does nothing if the caller has disconnected.
  void Send(Pistache::Http::Code aCode, std::string const& aBody) const;

private:
  std::shared_ptr<Pistache::Http::ResponseWriter> mWriter;
};

}
