#pragma once

#include <LibUpstream/UpstreamEnd.h>
#include <LibUpstream/UpstreamHead.h>
#include <LibUpstream/UpstreamPiece.h>

#include <utility>

namespace lycheeseam {

/// Receives the results of attempts, on the thread of the upstream_loop. An
/// attempt gives at most one head, then pieces in order, then exactly one end.
template<typename Sink>
concept upstream_sink = requires(Sink& aSink,
                                 upstream_head aHead,
                                 upstream_piece aPiece,
                                 upstream_end aEnd)
{
  aSink.OnHead(std::move(aHead));
  aSink.OnPiece(std::move(aPiece));
  aSink.OnEnd(std::move(aEnd));
};

}
