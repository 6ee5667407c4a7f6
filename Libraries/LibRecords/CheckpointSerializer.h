#pragma once

namespace lycheeseam {

/// Converts a fold's state to and from its section of a checkpoint. Each
/// checkpointed fold specialises it with
///   static std::string Save(Fold const&);
///   static void Load(Fold&, std::string_view);
/// Load throws invalid_input on malformed text and leaves the fold unchanged.
template<typename Fold>
struct checkpoint_serializer;

}
