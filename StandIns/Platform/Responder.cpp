#include "Responder.h"

namespace lycheeseam::standin {

void
responder::Send(Pistache::Http::Code aCode, std::string const& aBody) const
{
  try {
    mWriter->send(aCode, aBody, MIME(Application, Json));
  } catch (std::exception const&) {
    // The caller closed its connection, so that the answer can be dropped.
  }
}

}
