#pragma once

#include <pistache/http.h>

#include <memory>
#include <string>

namespace lycheeseam::standin {

/// Answers one request, from any thread: Pistache queues a whole answer for
/// the connection's own thread.
class responder
{
public:
  explicit responder(Pistache::Http::ResponseWriter aWriter)
    : mWriter(
        std::make_shared<Pistache::Http::ResponseWriter>(std::move(aWriter)))
  {
  }

  /// Sends the answer; a caller that has gone is ignored.
  void Send(Pistache::Http::Code aCode, std::string const& aBody) const;

private:
  std::shared_ptr<Pistache::Http::ResponseWriter> mWriter;
};

}
