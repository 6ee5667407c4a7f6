#include <LibGateway/AnswerHeadObserver.h>

#include <gtest/gtest.h>

#include <string>

namespace lycheeseam {

namespace {

std::string const kAnswer = "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n"
                            "Content-Length: 2\r\n\r\nok";

TEST(TestAnswerHeadObserver, FindsTheHeadInAnyPieces)
{
  for (std::size_t length = 1; length <= kAnswer.size(); ++length) {
    answer_head_observer observer;
    int found = 0;
    for (std::size_t at = 0; at < kAnswer.size(); at += length) {
      std::optional<answer_head> const head =
        observer.Add(std::string_view{ kAnswer }.substr(at, length));
      if (!head)
        continue;
      ++found;
      EXPECT_EQ(head->mStatus, 200U);
      ASSERT_FALSE(head->mFields.empty());
      EXPECT_EQ(head->mFields[0].mName, "Server-Leaving");
    }
    EXPECT_EQ(found, 1) << length;
  }
}

TEST(TestAnswerHeadObserver, PassesOverInterimAnswers)
{
  answer_head_observer observer;
  std::optional<answer_head> const head =
    observer.Add("HTTP/1.1 102 Processing\r\n\r\n" + kAnswer);
  ASSERT_TRUE(head);
  EXPECT_EQ(head->mStatus, 200U);
}

TEST(TestAnswerHeadObserver, BytesThatAreNoAnswerHaveNoHead)
{
  answer_head_observer observer;
  EXPECT_FALSE(observer.Add("no answer\r\n\r\n" + kAnswer));
  EXPECT_FALSE(observer.Add(kAnswer));
}

// Guards against a head without end that uses up the memory.
TEST(TestAnswerHeadObserver, HeadThatIsTooLongIsNotObserved)
{
  answer_head_observer observer;
  EXPECT_FALSE(
    observer.Add("HTTP/1.1 200 OK\r\nField: " + std::string(20'000, 'x')));
  EXPECT_FALSE(observer.Add("\r\n\r\n"));
}

}

}
