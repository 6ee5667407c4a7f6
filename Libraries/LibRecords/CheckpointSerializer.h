#pragma once

namespace lycheeseam {

/// How a fold's state stands in a checkpoint; specialised beside the codec of
/// each fold with
///   static std::string Save(Fold const&);
///   static void Load(Fold&, std::string_view);
/// where Load throws invalid_input and then leaves the fold as it was.
template<typename Fold>
struct checkpoint_form;

}
