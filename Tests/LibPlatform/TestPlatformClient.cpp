#include <LibPlatform/PlatformClient.h>

#include <StandIns/Platform/PlatformServer.h>
#include <gtest/gtest.h>

#include <future>

namespace lycheeseam {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 2000 };

// Runs the callbacks on the transfer_loop's thread.
struct direct_poster
{
  void operator()(std::function<void()> const& aCallback) const { aCallback(); }
};

class test_platform_client : public testing::Test
{
protected:
  static platform_options Options(std::uint16_t aPort)
  {
    return { .mAddress = { .mAddress = "127.0.0.1", .mPort = aPort },
             .mCallTimeout = kCallTimeout };
  }

  static no_operation Record(char const* aProposal)
  {
    return { { .mProposal = proposal_id{ aProposal } } };
  }

  append_result Append(char const* aProposal)
  {
    std::promise<append_result> end;
    mClient.Append(Record(aProposal), [&end](append_result const& aResult) {
      end.set_value(aResult);
    });
    return end.get_future().get();
  }

  std::future<read_result> Read(read_request const& aRequest)
  {
    std::shared_ptr<std::promise<read_result>> const end =
      std::make_shared<std::promise<read_result>>();
    mClient.Read(
      aRequest, [end](read_result const& aResult) { end->set_value(aResult); });
    return end->get_future();
  }

  standin::platform_server mServer{ 0, 2 };
  platform_client<direct_poster> mClient{ Options(mServer.Port()), {} };
};

static_assert(log_service<platform_client<direct_poster>>);

TEST_F(test_platform_client, AppendsAndReadsInOrder)
{
  EXPECT_EQ(Append("a").mOffset, log_offset{ 1 });
  EXPECT_EQ(Append("b").mOffset, log_offset{ 2 });
  read_result const result = Read({ .mFrom = log_offset{ 1 } }).get();
  std::vector<log_entry> const expected{ { log_offset{ 1 }, Record("a") },
                                         { log_offset{ 2 }, Record("b") } };
  EXPECT_EQ(result.mStatus, read_status::Complete);
  EXPECT_TRUE(result.mEntries == expected);
  EXPECT_EQ(result.mRange.mTail, log_offset{ 2 });
}

TEST_F(test_platform_client, WaitingReadReturnsTheNextRecord)
{
  std::future<read_result> read =
    Read({ .mFrom = log_offset{ 1 }, .mMaxWait = std::chrono::seconds{ 30 } });
  Append("a");
  EXPECT_EQ(read.get().mEntries.size(), 1U);
}

TEST_F(test_platform_client, LostAnswerGivesUnknownForAnAppendedRecord)
{
  mServer.Served().SetFaults({ .mLoseAnswers = 1 });
  EXPECT_EQ(Append("a").mStatus, append_status::Unknown);
  EXPECT_EQ(Read({ .mFrom = log_offset{ 1 } }).get().mEntries.size(), 1U);
}

TEST_F(test_platform_client, OutageEndsWaitingReadAsUnavailable)
{
  std::future<read_result> waiting =
    Read({ .mFrom = log_offset{ 1 }, .mMaxWait = std::chrono::seconds{ 30 } });
  mServer.Served().SetFaults({ .mOutage = true });
  EXPECT_EQ(Append("a").mStatus, append_status::Unknown);
  EXPECT_EQ(waiting.get().mStatus, read_status::Unavailable);
}

TEST_F(test_platform_client, ReadBeforeRetentionReturnsTheRange)
{
  mServer.Served().SetFaults({ .mRetentionRecords = 1 });
  Append("a");
  Append("b");
  read_result const result = Read({ .mFrom = log_offset{ 1 } }).get();
  EXPECT_EQ(result.mStatus, read_status::BeforeRetention);
  EXPECT_EQ(result.mRange, (log_range{ log_offset{ 2 }, log_offset{ 2 } }));
}

TEST_F(test_platform_client, RefusedConnectionGivesNotSent)
{
  // The port of a server that has just been closed.
  std::uint16_t port = 0;
  {
    standin::platform_server const closed{ 0, 1 };
    port = closed.Port();
  }
  platform_client<direct_poster> client{ Options(port), {} };
  std::promise<append_result> end;
  client.Append(Record("a"), [&end](append_result const& aResult) {
    end.set_value(aResult);
  });
  EXPECT_EQ(end.get_future().get().mStatus, append_status::NotSent);
}

TEST_F(test_platform_client, ListsRegisteredInstances)
{
  listed_instance const listed{ .mId = instance_id{ "entry-1" },
                                .mIncarnation = incarnation{ 3 },
                                .mCallers = endpoint::Parse("127.0.0.1:1"),
                                .mPeers = endpoint::Parse("127.0.0.1:2"),
                                .mFailureDomain = failure_domain{ "bkk-a" },
                                .mState = instance_state::Leaving };
  std::promise<bool> accepted;
  mClient.RegisterInstance(
    listed, [&accepted](bool aAccepted) { accepted.set_value(aAccepted); });
  EXPECT_TRUE(accepted.get_future().get());
  std::promise<std::optional<instance_list>> list;
  mClient.ListInstances([&list](auto const& aList) { list.set_value(aList); });
  EXPECT_EQ(list.get_future().get(), (instance_list{ { listed } }));
}

}
}
