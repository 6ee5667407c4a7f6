#pragma once

#include <LibCodec/JsonSerializer.h>
#include <LibCore/FieldPresence.h>

#include <string_view>

namespace lycheeseam {

/// Maps a struct's member to a field of its JSON object. Serializer reads and
/// writes the field's value.
template<typename Struct,
         typename Member,
         typename Serializer = json_serializer<Member>>
struct json_field
{
  using serializer = Serializer;

  std::string_view mName;
  Member Struct::*mMember;
  field_presence mPresence = field_presence::Required;
};

/// Makes a field that must be present.
template<typename Struct, typename Member>
constexpr json_field<Struct, Member>
RequiredField(std::string_view aName, Member Struct::*aMember)
{
  return { .mName = aName, .mMember = aMember };
}

/// Makes a field that may be missing; the member then keeps its default.
template<typename Struct, typename Member>
constexpr json_field<Struct, Member>
OptionalField(std::string_view aName, Member Struct::*aMember)
{
  return { .mName = aName,
           .mMember = aMember,
           .mPresence = field_presence::Optional };
}

}
