#pragma once

#include <LibRecords/CheckpointSerializer.h>
#include <LibRecords/LogFold.h>

#include <concepts>
#include <string>
#include <string_view>

namespace lycheeseam {

/// A fold with a section of its own in each checkpoint.
template<typename Fold>
concept checkpointed_fold = log_fold<Fold> && std::copyable<Fold> &&
  requires(Fold& aFold, std::string_view aText)
{
  {
    Fold::kSection
    } -> std::convertible_to<std::string_view>;
  {
    checkpoint_form<Fold>::Save(aFold)
    } -> std::same_as<std::string>;
  checkpoint_form<Fold>::Load(aFold, aText);
};

}
