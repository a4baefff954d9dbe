/** The operators' command-line tool. */
package org.lentilsail.cli;
