#pragma once

#include <LibStore/TopicPage.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// Tracks the newest known record of each key of a topic. It filters out known
/// and outdated records, since pages may arrive twice, late, from peers, or
/// from a store whose reads lag.
class topic_state
{
public:
  /// Returns the records of a page that are newer than the known ones, in their
  /// order. A complete page holds the newest record of every key: a known key
  /// that is missing from it was deleted, unless its record is newer than the
  /// page. Each such deletion is returned as a record without a value.
  [[nodiscard]] std::vector<keyed_record> Apply(topic_page const& aPage,
                                                bool aIsComplete);

  /// The newest record of each key that isn't deleted.
  [[nodiscard]] std::vector<keyed_record> Records() const;

  /// The newest records, also deletions, of all keys that changed from aFrom
  /// on, in the order of their positions.
  [[nodiscard]] std::vector<keyed_record> RecordsFrom(
    store_position aFrom) const;

  /// The known records of keys that are missing from a complete page.
  [[nodiscard]] std::vector<keyed_record> MissingFrom(
    topic_page const& aPage) const;

  /// The newest known record of a key, without a value when the key is deleted;
  /// null for an unknown key.
  [[nodiscard]] keyed_record const* Find(std::string_view aKey) const;

private:
  struct known_key
  {
    keyed_record mRecord;
    /// The position from which on the record is the newest; later than the
    /// record's own when a complete page lacked the key.
    store_position mSince;
  };
  using known_keys = std::map<std::string, known_key, std::less<>>;

  void AddDeletions(topic_page const& aPage,
                    std::vector<keyed_record>& aNewRecords);

  known_keys mKeys;
};

}
