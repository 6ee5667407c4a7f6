#include <LibPlacement/PrefixChain.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace lycheeseam {
namespace {

cache_scope
Scope(char const* aWorkspace, char const* aWeights)
{
  return { .mWorkspace = workspace_id{ aWorkspace },
           .mWeights = weights_version{ aWeights } };
}

TEST(TestPrefixChain, EqualPrefixesHaveEqualBlocks)
{
  std::string const shared(3 * kBlockBytes, 'x');
  cache_scope const scope = Scope("shop", "v1");
  prefix_chain const one = prefix_chain::OfText(scope, shared + "tail");
  prefix_chain const two =
    prefix_chain::OfText(scope, shared + std::string(kBlockBytes, 'y'));
  ASSERT_EQ(one.Blocks().size(), 3U);
  ASSERT_EQ(two.Blocks().size(), 4U);
  EXPECT_TRUE(std::ranges::equal(one.Blocks(), two.Blocks().first(3)));
  EXPECT_EQ(one.Root(), two.Root());
}

TEST(TestPrefixChain, AllBlocksOfARootBelongToOneShard)
{
  std::string const text(8 * kBlockBytes, 'x');
  prefix_chain const chain = prefix_chain::OfText(Scope("shop", "v1"), text);
  for (block_hash const block : chain.Blocks())
    EXPECT_EQ(ShardKey(block), ShardKey(chain.Root()));
}

TEST(TestPrefixChain, AChangeAffectsAllBlocksFromItOn)
{
  cache_scope const scope = Scope("shop", "v1");
  std::string text(4 * kBlockBytes, 'x');
  prefix_chain const before = prefix_chain::OfText(scope, text);
  text[kBlockBytes + 5] = 'z';
  prefix_chain const after = prefix_chain::OfText(scope, text);
  EXPECT_EQ(before.Blocks()[0], after.Blocks()[0]);
  for (std::size_t index = 1; index < 4; ++index)
    EXPECT_NE(before.Blocks()[index], after.Blocks()[index]);
}

TEST(TestPrefixChain, RootsDifferByWorkspaceAndWeights)
{
  std::string const text(kBlockBytes, 'x');
  block_hash const root =
    prefix_chain::OfText(Scope("shop", "v1"), text).Root();
  EXPECT_NE(root, prefix_chain::OfText(Scope("other", "v1"), text).Root());
  EXPECT_NE(root, prefix_chain::OfText(Scope("shop", "v2"), text).Root());
  EXPECT_NE(root, prefix_chain::OfText(Scope("v1", "shop"), text).Root());
}

TEST(TestPrefixChain, ShortPromptsHaveARootButNoBlock)
{
  prefix_chain const chain = prefix_chain::OfText(Scope("shop", "v1"), "hello");
  EXPECT_TRUE(chain.Blocks().empty());
  EXPECT_EQ(chain.Tokens(), 2);
  EXPECT_NE(chain.Root(),
            prefix_chain::OfText(Scope("shop", "v1"), "world").Root());
}

TEST(TestPrefixChain, CountsCompleteBlocksOfTokens)
{
  EXPECT_TRUE(rc::check([](std::vector<std::uint32_t> const& aTokens) {
    prefix_chain const chain =
      prefix_chain::OfTokens(Scope("shop", "v1"), aTokens);
    RC_ASSERT(chain.Blocks().size() == aTokens.size() / kBlockTokens);
    RC_ASSERT(chain.Tokens() == static_cast<token_count>(aTokens.size()));
  }));
}

}
}
