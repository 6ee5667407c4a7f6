#include <LibDispatch/PartKeys.h>

#include <xxhash.h>

namespace lycheeseam {

std::vector<std::uint64_t>
PartKeys(std::span<prompt_part const> aParts, model_name const& aModel)
{
  std::uint64_t const seed =
    XXH3_64bits(aModel.Text().data(), aModel.Text().size());
  std::vector<std::uint64_t> keys;
  keys.reserve(aParts.size());
  for (prompt_part const& part : aParts)
    keys.push_back(
      XXH3_64bits_withSeed(part.mId.data(), part.mId.size(), seed));
  return keys;
}

}
