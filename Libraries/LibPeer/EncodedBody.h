#pragma once

#include <PeerMessage_generated.h>

namespace lycheeseam {

/// A finished table with its type in the envelope's union.
struct encoded_body
{
  wire::Body mType = wire::Body::NONE;
  flatbuffers::Offset<void> mTable;
};

/// Makes a body of a finished table; aType has to be the type of that table.
template<typename Table>
encoded_body
MakeBody(wire::Body aType, flatbuffers::Offset<Table> aTable)
{
  return { .mType = aType, .mTable = aTable.Union() };
}

}
