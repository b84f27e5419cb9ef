#pragma once

#include "batches/batch.h"
#include "forwarding/requestfingerprint.h"

namespace Basilbend
{

/// Identifies what the text of an item is generated from, across the batches in which the item is submitted: a digest of the workspace,
/// the host, the model, the path, the parts of the prompt and the body. Ids of items are chosen by clients, so two workspaces may use the
/// same ones. Takes time in proportion to the body.
RequestFingerprint promptOf(const BatchItem &item, const BatchSubmission &submission, const BatchIndex &index);

}
