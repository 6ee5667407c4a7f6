#include "StoreFixture.h"
#include <LibFleet/ServerChanges.h>

namespace lycheeseam {
namespace {

keyed_record
Record(std::uint64_t aOffset, std::string aValue)
{
  return { .mPosition = { store_era{}, aOffset },
           .mKey = kServer.Text(),
           .mValue = std::move(aValue) };
}

class TestServerChanges : public testing::Test
{
protected:
  // The records of a page that others are sent.
  std::vector<keyed_record> Read(std::vector<keyed_record> const& aRecords)
  {
    std::vector<keyed_record> selected = mChanges.Select(aRecords, mKnown);
    for (keyed_record const& record :
         mKnown.Apply({ .mRecords = aRecords }, false))
      mRecords.Apply(mNow, store_topic::Servers, { &record, 1 }, {});
    return selected;
  }

  instant mNow{ std::chrono::seconds{ 100 } };
  topic_state mKnown;
  fleet_records<platform::store_dialect> mRecords;
  server_changes<platform::store_dialect> mChanges{ mRecords.Servers() };
};

using records = std::vector<keyed_record>;

// Guards against links that are full of heartbeats.
TEST_F(TestServerChanges, EntriesThatOnlyCountOnAreLeftOut)
{
  EXPECT_EQ(Read({ Record(0, Entry("ready", 1)) }).size(), 1U);
  EXPECT_EQ(
    Read({ Record(1, Entry("ready", 2)), Record(2, Entry("ready", 3)) }),
    records{});
}

// Guards against receivers that have lost a server which comes back at the
// reader.
TEST_F(TestServerChanges, EntryOfARemovedServerGoesOn)
{
  (void)Read({ Record(0, Entry("ready", 1)) });
  ASSERT_TRUE(mRecords.OnAddressTaken(mNow, { kServer, incarnation{ 7 } }, {}));
  records const next{ Record(1, Entry("ready", 2)) };
  EXPECT_EQ(Read(next), next);
}

// Guards against comparing bytes: the platform may add fields that change with
// each entry, and may write them in another order.
TEST_F(TestServerChanges, FieldsThatAreNotReadMakeNoDifference)
{
  std::string const cold = R"({"state": "ready", "cold_left_ms": 120,
    "service": "p", "addr": "127.0.0.1:9", "zone": "z", "slots": 4, "born": 7,
    "seq": 2})";
  (void)Read({ Record(0, Entry("ready", 1)) });
  EXPECT_EQ(Read({ Record(1, cold) }), records{});
}

// Guards against requests to a server that is leaving.
TEST_F(TestServerChanges, OtherDifferencesGoOn)
{
  (void)Read({ Record(0, Entry("ready", 1)) });
  records const leaving{ Record(1, Entry("draining", 2)) };
  EXPECT_EQ(Read(leaving), leaving);
  records const back{ Record(2, Entry("ready", 3)) };
  EXPECT_EQ(Read(back), back);
}

// Guards against entries of an older copy of the store that others don't get.
TEST_F(TestServerChanges, CountsThatBeginOrFallGoOn)
{
  (void)Read({ Record(0, Entry("ready", 0)) });
  records const first{ Record(1, Entry("ready", 5)) };
  EXPECT_EQ(Read(first), first);
  records const fallen{ Record(2, Entry("ready", 4)) };
  EXPECT_EQ(Read(fallen), fallen);
}

// Guards against entries that a newer platform writes and that newer instances
// could read.
TEST_F(TestServerChanges, EntriesThatCannotBeReadGoOn)
{
  (void)Read({ Record(0, Entry("ready", 1)) });
  records const odd{ Record(1, "{"),
                     Record(2, "{"),
                     Record(3, Entry("ready", 2)) };
  EXPECT_EQ(Read(odd), odd);
}

// Guards against receivers that know only the first of a dropped server's
// counts, and take a later entry of an older copy of the store for a new one.
TEST_F(TestServerChanges, LastEntryGoesOnBeforeItsDeletion)
{
  (void)Read({ Record(0, Entry("ready", 1)), Record(1, Entry("ready", 9)) });
  keyed_record const dropped{ .mPosition = { store_era{}, 2 },
                              .mKey = kServer.Text() };
  EXPECT_EQ(Read({ dropped }),
            (records{ Record(1, Entry("ready", 9)), dropped }));
  records const again{ Record(3, Entry("ready", 10)) };
  EXPECT_EQ(Read(again), again);
}

// Guards against a record that was lost on a link, and that its receivers take
// for one that was left out.
TEST_F(TestServerChanges, RecordsThatPeersPassedOnGoOnAgain)
{
  records const leaving{ Record(4, Entry("draining", 2)) };
  (void)Read(leaving);
  EXPECT_EQ(Read(leaving), leaving);
}

}
}
