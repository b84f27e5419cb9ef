#pragma once

#include "sidecar/sidecarsettings.h"

namespace Basilbend
{

class SettingsReader;

/// Reads the keys of a sidecar's settings file; faults are noted in the reader. docs/settings.md lists the keys.
SidecarSettings readSidecarSettings(SettingsReader &reader);

}
