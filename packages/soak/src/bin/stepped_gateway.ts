/**
 * Runs the gateway program with a wall clock that can be stepped: SIGUSR2 moves it forward by an hour, the next SIGUSR2
 * moves it back. The monotonic clock does not change, as when the clock of the machine is stepped.
 *
 * Usage: node stepped_gateway.js PROGRAM [ARGUMENTS OF THE PROGRAM]
 */
const stepMs = 3_600_000;
const systemNow = Date.now.bind(Date);
let offsetMs = 0;

Date.now = () => systemNow() + offsetMs;
process.on('SIGUSR2', () => {
  offsetMs = offsetMs === 0 ? stepMs : 0;
});

const [node, , program] = process.argv;
if (node === undefined || program === undefined) throw new Error('name the program to run');
process.argv = [node, ...process.argv.slice(2)];
// eslint-disable-next-line @typescript-eslint/no-require-imports -- the program is a bundle without exports
require(program);
