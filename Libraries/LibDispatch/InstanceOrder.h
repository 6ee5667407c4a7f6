#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/ReadyInstance.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace lycheeseam {

/// Orders the ready instances by a key, so that all of them assign the key to
/// the same instances without communication.
class instance_order
{
public:
  explicit instance_order(instance_id const& aSelf);

  /// Takes over the ready instances; true when they have changed.
  bool Update(std::span<ready_instance const> aReady);

  /// How many ready instances come before this one for the key.
  [[nodiscard]] std::size_t Position(std::uint64_t aKey) const;

  /// The number of ready instances, this one included.
  [[nodiscard]] std::size_t Count() const noexcept
  {
    return mOtherSeeds.size() + 1;
  }

private:
  std::uint64_t mOwnSeed;
  std::vector<std::uint64_t> mOtherSeeds;
};

}
