#include "GatewayFixture.h"

#include <array>
#include <string>

namespace lycheeseam {

namespace {

constexpr char const* kOld = "v1";
constexpr char const* kNew = "v2";

// A chunked stream with the events from aFirst to aLast; it breaks off when
// aIsWhole is false.
std::string
Stream(int aFirst, int aLast, bool aIsWhole)
{
  std::string answer = StreamHead();
  for (int event = aFirst; event <= aLast; ++event)
    answer += Chunk("id: " + std::to_string(event) + "\ndata: x\n\n");
  return answer + (aIsWhole ? "0\r\n\r\n" : "\a");
}

/// Servers of several versions of software behind a gateway.
class TestResumedStreams : public TestGateway
{
protected:
  /// The server with index i runs aSoftware[i].
  void SetSoftware(std::vector<char const*> const& aSoftware,
                   bool aIsComplete = true)
  {
    fleet_view view = *mView.Current();
    view.mSoftware.clear();
    for (std::size_t index = 0; index < aSoftware.size(); ++index) {
      software_version const software{ aSoftware[index] };
      view.mServers[index].mSoftware = software;
      pool_software const used{ view.mServers[index].mPool, software };
      if (std::count(view.mSoftware.begin(), view.mSoftware.end(), used) == 0)
        view.mSoftware.push_back(used);
    }
    view.mIsSoftwareComplete = aIsComplete;
    mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
  }

  void Drop(std::size_t aServer)
  {
    fleet_view view = *mView.Current();
    view.mServers.erase(view.mServers.begin() +
                        static_cast<std::ptrdiff_t>(aServer));
    mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
  }

  // Continues the stream of r1 after its first event.
  std::string Resume()
  {
    std::string answer =
      Exchange(Request("/stream/x", "Last-Event-Id: 1\r\nResumes: r1\r\n"));
    return answer;
  }

  void LearnOrigin(char const* aSoftware)
  {
    mTraffic.Invoke([this, aSoftware]() {
      mGateway->OnPeerUpdate(
        { .mOrigins = { { .mStream = stream_origins::Key(request_id{ "r1" }),
                          .mSoftware = software_version{ aSoftware } } } });
    });
  }
};

bool
IsRefusedAsNotRun(std::string const& aAnswer)
{
  return aAnswer.starts_with("HTTP/1.1 503");
}

// Guards against an answer with events of two versions of software: the text of
// one doesn't continue that of the other.
TEST_F(TestResumedStreams, BrokenStreamGoesOnAtItsSoftwareOnly)
{
  scripted_server first{ { Stream(1, 1, false) } };
  scripted_server other{ { Stream(2, 2, true), Stream(2, 2, true) } };
  scripted_server same{ { Stream(2, 2, true) } };
  StartGateway(std::array{ &first, &other, &same });
  SetSoftware({ kOld, kNew, kOld });
  std::string const answer = Exchange(Request("/stream/x"));
  EXPECT_TRUE(Contains(answer, "id: 2\n"));
  EXPECT_EQ(other.Requests().size(), 0U);
  EXPECT_EQ(same.Requests().size(), 1U);
}

TEST_F(TestResumedStreams, BrokenStreamEndsWithoutAServerOfItsSoftware)
{
  scripted_server first{ { Stream(1, 1, false) } };
  scripted_server other{ { Stream(2, 2, true) } };
  StartGateway(std::array{ &first, &other });
  SetSoftware({ kOld, kNew });
  std::string const answer = Exchange(Request("/stream/x"));
  EXPECT_FALSE(answer.ends_with("0\r\n\r\n"));
  EXPECT_EQ(other.Requests().size(), 0U);
}

// The caller has nothing yet that another software would have to continue.
TEST_F(TestResumedStreams, StreamWithoutAnAnswerBeginsAtOtherSoftware)
{
  scripted_server first{ { "close" } };
  scripted_server other{ { Stream(1, 1, true) } };
  StartGateway(std::array{ &first, &other });
  SetSoftware({ kOld, kNew });
  EXPECT_TRUE(Exchange(Request("/stream/x")).ends_with("0\r\n\r\n"));
}

// Guards against a caller's stream that is joined of two versions of software.
TEST_F(TestResumedStreams, CallersResumptionGoesToTheSoftwareThatBegan)
{
  scripted_server old{ { Stream(1, 1, false), "close", "close" } };
  scripted_server newer{ { Stream(2, 2, true), Stream(2, 2, true) } };
  StartGateway(std::array{ &old, &newer });
  SetSoftware({ kOld, kNew });
  EXPECT_FALSE(Exchange(Request("/stream/x")).ends_with("0\r\n\r\n"));
  Resume();
  EXPECT_EQ(newer.Requests().size(), 0U);
}

TEST_F(TestResumedStreams, ResumptionGoesToTheSoftwareThatAPeerNamed)
{
  scripted_server old{ { Stream(2, 2, true), Stream(2, 2, true) } };
  scripted_server newer{ { Stream(2, 2, true), Stream(2, 2, true) } };
  StartGateway(std::array{ &old, &newer });
  SetSoftware({ kOld, kNew });
  LearnOrigin(kNew);
  EXPECT_TRUE(Resume().ends_with("0\r\n\r\n"));
  EXPECT_TRUE(Resume().ends_with("0\r\n\r\n"));
  EXPECT_EQ(old.Requests().size(), 0U);
}

TEST_F(TestResumedStreams, ResumptionIsRefusedWhilePeersContradictEachOther)
{
  scripted_server old{ { Stream(2, 2, true) } };
  scripted_server newer{ { Stream(2, 2, true) } };
  StartGateway(std::array{ &old, &newer });
  SetSoftware({ kOld, kNew });
  LearnOrigin(kNew);
  LearnOrigin(kOld);
  EXPECT_TRUE(IsRefusedAsNotRun(Resume()));
}

// Guards against a guess, as after a restart of all instances.
TEST_F(TestResumedStreams, ResumptionOfUnknownOriginIsRefusedAsNotRun)
{
  scripted_server old{ { Stream(2, 2, true) } };
  scripted_server newer{ { Stream(2, 2, true) } };
  StartGateway(std::array{ &old, &newer });
  SetSoftware({ kOld, kNew });
  EXPECT_TRUE(IsRefusedAsNotRun(Resume()));
  EXPECT_EQ(old.Requests().size() + newer.Requests().size(), 0U);
}

// Guards against taking all resumptions that name no request for one stream.
TEST_F(TestResumedStreams, ResumptionThatNamesNoRequestHasNoKnownOrigin)
{
  scripted_server old{ { Stream(2, 2, true), Stream(2, 2, true) } };
  scripted_server newer{ { Stream(2, 2, true), Stream(2, 2, true) } };
  StartGateway(std::array{ &old, &newer });
  std::string const request = Request("/stream/x", "Last-Event-Id: 1\r\n");
  SetSoftware({ kOld, kOld });
  EXPECT_TRUE(Exchange(request).ends_with("0\r\n\r\n"));
  SetSoftware({ kOld, kNew });
  EXPECT_TRUE(IsRefusedAsNotRun(Exchange(request)));
}

TEST_F(TestResumedStreams, ResumptionOfUnknownOriginGoesOnAtTheOnlySoftware)
{
  scripted_server server{ { Stream(2, 2, true) } };
  StartGateway(std::array{ &server });
  SetSoftware({ kOld });
  EXPECT_TRUE(Resume().ends_with("0\r\n\r\n"));
}

// Other software may have begun the stream before this instance started.
TEST_F(TestResumedStreams, OnlySoftwareIsNoReasonWhileOtherMayHaveBeenInUse)
{
  scripted_server server{ { Stream(2, 2, true) } };
  StartGateway(std::array{ &server });
  SetSoftware({ kOld }, false);
  EXPECT_TRUE(IsRefusedAsNotRun(Resume()));
  EXPECT_EQ(server.Requests().size(), 0U);
}

TEST_F(TestResumedStreams, ResumptionIsRefusedAtOnceWhenItsSoftwareIsGone)
{
  scripted_server old{ { Stream(1, 1, false) } };
  scripted_server newer{ { Stream(2, 2, true) } };
  StartGateway(std::array{ &old, &newer });
  SetSoftware({ kOld, kNew });
  LearnOrigin(kOld);
  Drop(0);
  std::string const answer = Resume();
  EXPECT_TRUE(IsRefusedAsNotRun(answer));
  EXPECT_TRUE(Contains(answer, "Retry-After: 2.000\r\n"));
  EXPECT_EQ(newer.Requests().size(), 0U);
}

}

}
