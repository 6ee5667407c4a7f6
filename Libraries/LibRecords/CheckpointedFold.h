#pragma once

#include <LibRecords/CheckpointSerializer.h>
#include <LibRecords/LogFold.h>

#include <concepts>
#include <string>
#include <string_view>

namespace lycheeseam {

/// A fold whose state is stored as a section of each checkpoint.
template<typename Fold>
concept checkpointed_fold = log_fold<Fold> && std::copyable<Fold> &&
  requires(Fold& aFold, std::string_view aText)
{
  {
    Fold::kSection
    } -> std::convertible_to<std::string_view>;
  {
    checkpoint_serializer<Fold>::Save(aFold)
    } -> std::same_as<std::string>;
  checkpoint_serializer<Fold>::Load(aFold, aText);
};

}
