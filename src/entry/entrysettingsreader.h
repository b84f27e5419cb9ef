#pragma once

#include "base/result.h"
#include "entry/entrysettings.h"

namespace Basilbend
{

class SettingsReader;

/// Reads the keys of an entry's settings file; faults are noted in the reader. docs/settings.md lists the keys.
EntrySettings readEntrySettings(SettingsReader &reader);

}
