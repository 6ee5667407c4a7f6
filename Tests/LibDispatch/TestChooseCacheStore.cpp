#include <LibDispatch/ChooseCacheStore.h>
#include <LibDispatch/DispatchConfig.h>

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace lycheeseam {

namespace {

endpoint
Address(int aIndex)
{
  return { .mAddress = "10.0.0." + std::to_string(aIndex), .mPort = 8603 };
}

dispatch_config
ConfigWithStores(std::vector<int> const& aIndices)
{
  std::vector<dispatch_pool> pools{ { .mName = pool_name{ "engines" } } };
  for (int const index : aIndices)
    pools.push_back({ .mName = pool_name{ "store-" + std::to_string(index) },
                      .mCacheStore = Address(index) });
  return { 1, {}, std::move(pools), {}, {} };
}

// Guards against one store that carries the traffic of all: on the grown days
// of a site with three stores every prompt was saved to and fetched from the
// first one, whose link was busy while the others were idle.
TEST(TestChooseCacheStore, SpreadsKeysOverAllStores)
{
  dispatch_config const config = ConfigWithStores({ 1, 2, 3 });
  std::map<std::string, int> chosen;
  constexpr std::uint64_t kKeys = 3'000;
  for (std::uint64_t key = 0; key < kKeys; ++key)
    ++chosen[ChooseCacheStore(config.CacheStores(), key)->mAddress.Text()];
  ASSERT_EQ(chosen.size(), 3U);
  for (auto const& [address, keys] : chosen)
    EXPECT_NEAR(keys, 1'000, 150) << address;
}

TEST(TestChooseCacheStore, RemovedStoreMovesOnlyItsOwnKeys)
{
  dispatch_config const before = ConfigWithStores({ 1, 2, 3 });
  dispatch_config const after = ConfigWithStores({ 3, 1 });
  for (std::uint64_t key = 0; key < 100; ++key) {
    endpoint const former =
      ChooseCacheStore(before.CacheStores(), key)->mAddress;
    if (former == Address(2))
      continue;
    EXPECT_EQ(ChooseCacheStore(after.CacheStores(), key)->mAddress, former);
  }
}

TEST(TestChooseCacheStore, ReturnsNullWithoutStores)
{
  EXPECT_EQ(ChooseCacheStore({}, 1), nullptr);
}

}

}
