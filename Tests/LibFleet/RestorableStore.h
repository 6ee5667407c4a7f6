#pragma once

#include <Tests/LibGateway/ScriptedServer.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lycheeseam {

/// A stand-in for the users' store, with one partition for each topic. Like the
/// store it may come back from an older copy of itself: what was appended since
/// is gone, and its offsets are given out again.
class restorable_store
{
public:
  [[nodiscard]] endpoint Address() const { return mServer.Address(); }

  /// Appends a record for a key; without a value the key is dropped.
  void Write(std::string const& aTopic,
             std::string const& aKey,
             std::string const& aValue);

  /// Keeps a copy of what the store holds now.
  void Copy();

  /// Comes back from the copy.
  void Restore();

  /// The newest value of each key.
  [[nodiscard]] std::map<std::string, std::string> Newest(
    std::string const& aTopic);

  /// Refuses the next reads of a topic.
  void RefuseReads(std::string const& aTopic, int aCount);

  /// Refuses the next appends to a topic.
  void RefuseAppends(std::string const& aTopic, int aCount);

  /// Forgets the records so far but for the newest of each key, and refuses the
  /// next reads of those.
  void DropHistory(std::string const& aTopic, int aRefusedReads);

private:
  struct record
  {
    std::string mKey;
    std::string mValue;
  };
  using topics = std::map<std::string, std::vector<record>>;

  // The answer to a request, both as bytes.
  std::string AnswerTo(std::string const& aRequest);
  std::string AnswerToNewest(std::vector<record> const& aRecords);
  std::string AnswerToRead(std::vector<record> const& aRecords,
                           std::uint64_t aFirst,
                           std::uint64_t aFrom);
  std::string AnswerToAppend(std::vector<record>& aRecords,
                             std::string const& aTarget,
                             std::string const& aBody);
  std::string Format(std::string const& aStatus, std::string const& aBody);

  std::mutex mMutex;
  topics mTopics;
  topics mCopy;
  std::uint64_t mEra = 1;
  std::map<std::string, int> mReadsToRefuse;
  std::map<std::string, int> mAppendsToRefuse;
  std::map<std::string, int> mNewestToRefuse;
  /// The offset of the first record of each topic that isn't forgotten.
  std::map<std::string, std::uint64_t> mFirst;
  scripted_server mServer{ [this](std::string const& aRequest) {
    return AnswerTo(aRequest);
  } };
};

}
