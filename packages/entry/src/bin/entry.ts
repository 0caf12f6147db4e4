#!/usr/bin/env node
/** `cuminsill-entry`: the entry process of one instance. */
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
