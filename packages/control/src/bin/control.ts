#!/usr/bin/env node
/** `cuminsill-control`: the control process of one instance. */
import {runDaemon} from '@cuminsill/daemon';
import {ControlSettingsSchema} from '@cuminsill/validation';
import {startControlDaemon} from '../control_daemon';

void runDaemon({
  name: 'cuminsill-control',
  description: 'Keeps configuration, membership and claims of one instance and serves operators.',
  version: '0.1.0',
  settingsSchema: ControlSettingsSchema,
  start: startControlDaemon,
});
