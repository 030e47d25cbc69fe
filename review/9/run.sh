#!/bin/bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken.
cd "$(dirname "$0")" && exec python3 -B case.py
