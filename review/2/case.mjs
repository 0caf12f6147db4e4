/**
 * One of four endpoints spoils one byte in the status line of 2 in 100 of its answers. Two gateways serve clients on kept
 * connections. The script counts how often each gateway process ends by itself, and how many requests at the sound endpoints
 * lose their connection without an answer.
 */
import * as http from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {hasTrouble, runCase, standins} from '../lib/harness.mjs';
import {answerHead, startEndpoint} from '../lib/endpoint.mjs';

const runMs = 35_000;
const workMs = 300;
const clientsPerGateway = 12;
const restartDelayMs = 500;
const registrationMs = 1_500;
/** Every fiftieth answer of the faulty endpoint is spoiled: x = 0.02, as `garble` in the site file. */
const spoiledEvery = 50;
/** LOST: "more than three times". */
const toleratedLosses = 3;
/** Faults: "on a tenth of the machines in use (two at least) processes end by themselves three times in the day". */
const faultEnds = 3;
const faultMachines = 2;

await runCase('review/2', async current => {
  await current.startStore(standins.wireConfiguration(1));
  const runningAtSound = new Set();
  const onRun = ({requestId}) => runningAtSound.add(requestId);
  for (const id of ['i-1', 'i-2', 'i-3']) await startEndpoint(current, id, {workMs, onRun});
  let answers = 0;
  const spoil = ({requestId}, socket) => {
    answers += 1;
    if (!hasTrouble || answers % spoiledEvery !== 0) return false;
    const body = `answer to ${requestId}`;
    const head = answerHead('i-4', requestId, `Content-Length: ${body.length}`);
    const spoiled = `${head}\r\n\r\n${body}`.replace('200 OK', '200 O\u0007');
    current.note(`i-4 spoils its answer to ${requestId}: ${JSON.stringify(spoiled.slice(0, 17))}`);
    socket.write(spoiled, 'latin1');
    return true;
  };
  await startEndpoint(current, 'i-4', {workMs, answer: spoil});

  const endMs = performance.now() + runMs;
  const gateways = [];
  const counts = [];
  for (const number of [1, 2]) {
    const gateway = await current.startGateway(`front-a-1-${number}`, `127.0.0.${10 + number}`);
    gateways.push(gateway);
    counts.push({ends: 0, lost: 0, sent: 0, answered: 0});
  }
  await wait(registrationMs);

  const keepRunning = async (gateway, count) => {
    while (performance.now() < endMs) {
      const exit = await Promise.race([gateway.exited, wait(200)]);
      if (exit === undefined) continue;
      count.ends += 1;
      current.note(`${gateway.name} says: ${/^\w*Error.*$/m.exec(gateway.output)?.[0] ?? ''}`);
      await wait(restartDelayMs);
      await current.launch(gateway);
    }
  };
  const runClient = async (gateway, count, clientName) => {
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    for (let number = 0; performance.now() < endMs; number += 1) {
      const id = `${clientName}-${number}`;
      count.sent += 1;
      const result = await send(gateway, id, agent, number % 2 === 0);
      if (result.status !== undefined) count.answered += 1;
      else if (result.wasKept && runningAtSound.has(id)) {
        count.lost += 1;
        current.note(
          `${id} ran at a sound endpoint; ${gateway.name} closed its kept connection: ${result.error}`,
        );
      }
      runningAtSound.delete(id);
      if (result.status === undefined) await wait(100);
    }
    agent.destroy();
  };
  await Promise.all(
    gateways.flatMap((gateway, index) => [
      keepRunning(gateway, counts[index]),
      ...Array.from({length: clientsPerGateway}, (_, client) =>
        runClient(gateway, counts[index], `r-${index + 1}-${client}`),
      ),
    ]),
  );
  for (const [index, count] of counts.entries()) {
    current.note(`${gateways[index].name}: ${JSON.stringify(count)}`);
  }
  if (counts.some(({answered}) => answered === 0)) throw new Error('a gateway answered nothing');
  const isLost = counts.some(({lost}) => lost > toleratedLosses);
  const isFault = counts.filter(({ends}) => ends >= faultEnds).length >= faultMachines;
  current.note(`LOST ${isLost ? 'broken' : 'held'}, Fault ${isFault ? 'broken' : 'held'}`);
  return isLost || isFault;
});

function send(gateway, id, agent, isRead) {
  return new Promise(done => {
    const request = http.request({
      host: gateway.host,
      port: gateway.front,
      method: isRead ? 'GET' : 'POST',
      path: isRead ? `/read/${id}` : `/book/${id}`,
      agent,
      headers: {
        Host: 'one.example',
        'Request-Id': id,
        'Deadline-Ms': '2000',
        Cookie: `Affinity-Key=${id}`,
      },
    });
    request.on('response', response => {
      response.resume();
      response.on('end', () => done({status: response.statusCode}));
      response.on('error', error => done({wasKept: request.reusedSocket, error: error.message}));
    });
    request.on('error', error => done({wasKept: request.reusedSocket, error: error.message}));
    request.end(isRead ? undefined : 'an order');
  });
}
