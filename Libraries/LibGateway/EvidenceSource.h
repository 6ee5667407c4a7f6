#pragma once

namespace lycheeseam {

/// Which instance made an observation of a server.
enum class evidence_source
{
  Own,
  Peer,
};

}
