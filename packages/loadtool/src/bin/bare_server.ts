#!/usr/bin/env node
/**
 * Baseline of the benchmark: a Node http server that answers every request with the same body, which is given as base64
 * in the first argument.
 */
import * as http from 'node:http';
import {listen} from '@cuminsill/standins';

const body = Buffer.from(process.argv[2] ?? '', 'base64');
const headers = {'content-type': 'application/json', 'content-length': body.byteLength};
const server = http.createServer((_request, response) => {
  response.writeHead(200, headers);
  response.end(body);
});

void listen(server, '127.0.0.1', 0).then(({address}) => {
  process.stdout.write(`${JSON.stringify({ready: true, address})}\n`);
});
