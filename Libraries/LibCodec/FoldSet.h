#pragma once

#include <LibCodec/CheckpointCodec.h>
#include <LibCodec/CodecError.h>
#include <LibCore/Verify.h>
#include <LibRecords/CheckpointedFold.h>
#include <LibRecords/ReplicatedState.h>

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lycheeseam {

/// The state of several folds over the same log, which are stored together in
/// its checkpoints.
template<checkpointed_fold... Folds>
class fold_set
{
public:
  /// Applies an entry to every fold; its offset must exceed the last one.
  void Apply(log_entry const& aEntry)
  {
    VERIFY(aEntry.mOffset > mOffset);
    (Get<Folds>().Apply(aEntry), ...);
    mOffset = aEntry.mOffset;
  }

  /// The offset of the last entry applied; 0 before the first.
  [[nodiscard]] log_offset Offset() const noexcept { return mOffset; }

  /// One of the folds.
  template<typename Fold>
  [[nodiscard]] Fold& Get() noexcept
  {
    return std::get<Fold>(mFolds);
  }

  /// One of the folds.
  template<typename Fold>
  [[nodiscard]] Fold const& Get() const noexcept
  {
    return std::get<Fold>(mFolds);
  }

  /// Returns the state of all folds as a checkpoint's text.
  [[nodiscard]] std::string Save() const
  {
    std::vector<checkpoint_section> const sections{ Section<Folds>()... };
    return EncodeSections(sections);
  }

  /// Replaces the state by that of a checkpoint's text, which covers all
  /// records up to aCovers. Throws invalid_input and changes nothing when a
  /// fold's section is missing or malformed; ignores sections of other folds.
  void Load(log_offset aCovers, std::string_view aText)
  {
    std::vector<checkpoint_section> const sections = DecodeSections(aText);
    std::tuple<Folds...> loaded = mFolds;
    (LoadFold(std::get<Folds>(loaded), sections), ...);
    mFolds = std::move(loaded);
    mOffset = aCovers;
  }

private:
  template<typename Fold>
  checkpoint_section Section() const
  {
    return { .mName = std::string{ Fold::kSection },
             .mText = checkpoint_serializer<Fold>::Save(Get<Fold>()) };
  }

  template<typename Fold>
  static void LoadFold(Fold& aFold, std::span<checkpoint_section const> aAll)
  {
    auto const section =
      std::ranges::find(aAll, Fold::kSection, &checkpoint_section::mName);
    if (section == aAll.end())
      throw codec_error{ "$", Fold::kSection, "the section is missing" };
    checkpoint_serializer<Fold>::Load(aFold, section->mText);
  }

  std::tuple<Folds...> mFolds;
  log_offset mOffset;
};

}
