/**
 * Runs the gateway program with a wall clock that can be stepped: each SIGUSR2 moves it by an hour, forward and back by
 * turns. The monotonic clock is left alone, as by the system's own clock steps.
 *
 * Usage: node stepped_gateway.js PROGRAM ...arguments of the program
 */
const stepMs = 3_600_000;
const trueNow = Date.now.bind(Date);
let offsetMs = 0;

Date.now = () => trueNow() + offsetMs;
process.on('SIGUSR2', () => {
  offsetMs = offsetMs === 0 ? stepMs : 0;
});

const [node, , program] = process.argv;
if (node === undefined || program === undefined) throw new Error('name the program to run');
process.argv = [node, ...process.argv.slice(2)];
// eslint-disable-next-line @typescript-eslint/no-require-imports -- the program is a bundle without exports
require(program);
