#pragma once

namespace lycheeseam {

/// Which instance observed a crash of a server.
enum class evidence_source
{
  Own,
  Peer,
};

}
