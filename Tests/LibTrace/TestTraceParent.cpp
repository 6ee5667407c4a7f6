#include <LibTrace/TraceIdSource.h>
#include <LibTrace/TraceParent.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lycheeseam {
namespace {

constexpr std::string_view kHeader =
  "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

std::string
WithCharacterAt(std::size_t aIndex, char aCharacter)
{
  std::string text{ kHeader };
  text[aIndex] = aCharacter;
  return text;
}

TEST(TestTraceParent, ParsesAndFormatsTheSameHeader)
{
  std::optional<trace_parent> const parsed = trace_parent::Parse(kHeader);
  ASSERT_TRUE(parsed.has_value());
  EXPECT_TRUE(parsed->mIsSampled);
  EXPECT_EQ(parsed->Text(), kHeader);
}

TEST(TestTraceParent, ParsesFormattedNewIds)
{
  EXPECT_TRUE(rc::check([](std::uint32_t aSeed) {
    trace_id_source<> source{ std::mt19937_64{ aSeed } };
    trace_parent const parent{ .mTrace = source.NewTrace(),
                               .mSpan = source.NewSpan(),
                               .mIsSampled = false };
    RC_ASSERT(trace_parent::Parse(parent.Text()) == parent);
  }));
}

TEST(TestTraceParent, AcceptsMoreFieldsInLaterVersionsOnly)
{
  EXPECT_TRUE(
    trace_parent::Parse(WithCharacterAt(1, '1') + "-more").has_value());
  EXPECT_FALSE(
    trace_parent::Parse(WithCharacterAt(1, '1') + "more").has_value());
  EXPECT_FALSE(
    trace_parent::Parse(std::string{ kHeader } + "-more").has_value());
}

TEST(TestTraceParent, RefusesMalformedHeaders)
{
  EXPECT_FALSE(trace_parent::Parse("").has_value());
  EXPECT_FALSE(trace_parent::Parse(kHeader.substr(1)).has_value());
  EXPECT_FALSE(trace_parent::Parse(WithCharacterAt(2, '_')).has_value());
  EXPECT_FALSE(trace_parent::Parse(WithCharacterAt(5, 'G')).has_value());
  EXPECT_FALSE(trace_parent::Parse(WithCharacterAt(5, 'F')).has_value());
  EXPECT_FALSE(trace_parent::Parse(WithCharacterAt(54, 'x')).has_value());
  EXPECT_FALSE(trace_parent::Parse(
                 "00-00000000000000000000000000000000-00f067aa0ba902b7-01")
                 .has_value());
  EXPECT_FALSE(trace_parent::Parse(
                 "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
                 .has_value());
}

TEST(TestTraceParent, ParsesAnyTextWithoutFault)
{
  EXPECT_TRUE(rc::check([](std::string const& aText) {
    std::optional<trace_parent> const parsed = trace_parent::Parse(aText);
    RC_ASSERT(!parsed || parsed->Text().size() == kHeader.size());
  }));
}

}
}
