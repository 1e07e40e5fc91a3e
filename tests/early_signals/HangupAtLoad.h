#pragma once

/// Number of SIGHUPs that a constructor of this shared library has sent to its own process.
int hangupsAtLoad();
