#pragma once

#include <LibCore/Instant.h>
#include <LibMembership/Member.h>
#include <LibMembership/MemberTableOptions.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// Joins the platform's lagging list of instances with what links tell.
///
/// The list names instances that this one has no link to; a link knows more
/// of its peer, and sooner. What is older than the newest incarnation known
/// is dropped, wherever it comes from.
class member_table
{
public:
  member_table(member aSelf, member_table_options aOptions);

  /// A new state of the platform's list.
  void SetList(std::span<member const> aListed, instant aNow);

  /// A link to the peer is up.
  void OnPeerUp(member const& aPeer);

  /// No link to the peer is up any more.
  void OnPeerDown(instance_identity const& aPeer, instant aNow);

  /// The peer said that it is leaving.
  void OnLeaving(instance_identity const& aPeer);

  /// This instance is leaving.
  void OnSelfLeaving();

  /// All instances in order of their names, this one included.
  [[nodiscard]] std::vector<member> Members() const;

  /// Those that callers may be told of: neither leaving nor lost. A lost one
  /// had a link that ended and hasn't come back.
  [[nodiscard]] std::vector<member> Usable() const;

  /// The identity of the newest known incarnation of an instance.
  [[nodiscard]] std::optional<instance_identity> IdentityOf(
    instance_id const& aInstance) const;

private:
  struct entry
  {
    member mMember;
    bool mIsListed = false;
    bool mIsLinked = false;
    /// When the last link ended; nothing while one is up or before the first.
    std::optional<instant> mLostAt;
  };

  [[nodiscard]] entry* FindIdentity(instance_identity const& aIdentity);
  void Learn(member const& aMember);
  void DropUnlisted(instant aNow);

  instance_id mSelf;
  member_table_options mOptions;
  std::map<instance_id, entry> mEntries;
};

}
