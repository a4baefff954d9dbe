/** Decisions without sockets and threads; clock values and random generators are passed in. */
package org.lentilsail.policy;
