#!/usr/bin/env node
/** `cuminsill-entry`: serves callers on one instance. */
import {runDaemon} from '@cuminsill/daemon';
import {EntrySettingsSchema} from '@cuminsill/validation';
import {startEntry} from '../entry_daemon';

void runDaemon({
  name: 'cuminsill-entry',
  description: 'Answers look-ups and forwards requests of callers to targets.',
  version: '0.1.0',
  settingsSchema: EntrySettingsSchema,
  start: startEntry,
});
